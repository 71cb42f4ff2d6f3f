package hyssopturn.admit;

import java.util.concurrent.CompletableFuture;

/** Baseline that admits everything at once. */
public final class OpenAdmission implements Admission {
    private static final Permit PERMIT =
            new Permit() {
                @Override
                public void first() {}

                @Override
                public void release(Use use) {}
            };

    /** Creates the baseline. */
    public OpenAdmission() {}

    @Override
    public CompletableFuture<Permit> admit(Ask ask) {
        return CompletableFuture.completedFuture(PERMIT);
    }
}
