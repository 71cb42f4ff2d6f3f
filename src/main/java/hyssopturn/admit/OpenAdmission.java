package hyssopturn.admit;

import java.util.concurrent.CompletableFuture;

/** Admission without limits, a baseline for comparison: admits each request at once. */
public final class OpenAdmission implements Admission {
    private static final Permit PERMIT =
            new Permit() {
                @Override
                public void firstPart() {}

                @Override
                public void release(Usage usage) {}
            };

    /** Creates admission without limits. */
    public OpenAdmission() {}

    @Override
    public CompletableFuture<Permit> admit(Request request) {
        return CompletableFuture.completedFuture(PERMIT);
    }
}
