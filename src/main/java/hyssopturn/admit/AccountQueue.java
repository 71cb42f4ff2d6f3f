package hyssopturn.admit;

import hyssopturn.model.AccountId;

import java.util.Comparator;
import java.util.TreeSet;

/** Waiting requests of one account in one class, and how much it was served. */
final class AccountQueue {
    static final Comparator<AccountQueue> BY_TAG =
            Comparator.<AccountQueue>comparingDouble(a -> a.tag).thenComparing(a -> a.account);

    final AccountId account;
    final TreeSet<Ticket> waiting = new TreeSet<>(Ticket.BY_LATEST_START);
    final Decayed served;
    double tag;

    AccountQueue(AccountId account, double tag, long halfLifeNanos) {
        this.account = account;
        this.tag = tag;
        served = new Decayed(halfLifeNanos);
    }
}
