package hyssopturn.filter;

import hyssopturn.model.AccountId;
import hyssopturn.model.AnswerEvent;
import hyssopturn.model.AnswerEvent.End;
import hyssopturn.model.Reason;

import io.smallrye.mutiny.Multi;

import java.util.Optional;

/** Identifies the caller's account by its bearer token. */
public final class AccountFilter implements Filter {
    private final Credentials credentials;

    /**
     * Creates the filter.
     *
     * @param credentials checks tokens
     */
    public AccountFilter(Credentials credentials) {
        this.credentials = credentials;
    }

    @Override
    public Multi<AnswerEvent> apply(Exchange exchange, Next next) {
        Optional<AccountId> account =
                exchange.call()
                        .bearer()
                        .flatMap(credentials::account)
                        .filter(a -> !exchange.config().revoked().contains(a));
        if (account.isEmpty()) {
            return Multi.createFrom()
                    .item(End.notRun(Reason.UNAUTHENTICATED, "no valid bearer token"));
        }
        exchange.account(account.get());
        return next.proceed(exchange);
    }
}
