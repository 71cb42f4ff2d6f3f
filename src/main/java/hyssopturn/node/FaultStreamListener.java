package hyssopturn.node;

import hyssopturn.log.KeyedFollower;
import hyssopturn.port.KeyedLog;
import hyssopturn.port.PortException;
import hyssopturn.quarantine.PromptGuard;
import hyssopturn.quarantine.QuarantineRecord;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Passes the records of the stream of faults on to those who read them. */
final class FaultStreamListener implements KeyedFollower.Listener {
    private final FaultReporter engines;
    private final QuarantineReporter prompts;
    private final PromptGuard guard;

    FaultStreamListener(FaultReporter engines, QuarantineReporter prompts, PromptGuard guard) {
        this.engines = engines;
        this.prompts = prompts;
        this.guard = guard;
    }

    @Override
    public void snapshot(KeyedLog.Page page) {
        page.entries().stream()
                .filter(FaultStreamListener::aboutPrompts)
                .sorted(Comparator.comparingLong(KeyedLog.Entry::offset))
                .forEach(e -> prompts.applyStored(e, guard));
        engines.snapshot(page);
    }

    @Override
    public void records(KeyedLog.Page page) {
        List<KeyedLog.Entry> aboutEngines = new ArrayList<>();
        for (KeyedLog.Entry entry : page.entries()) {
            if (aboutPrompts(entry)) {
                prompts.apply(entry, guard);
            } else {
                aboutEngines.add(entry);
            }
        }
        engines.records(new KeyedLog.Page(aboutEngines, page.next()));
    }

    private static boolean aboutPrompts(KeyedLog.Entry entry) {
        return entry.key().startsWith(QuarantineRecord.KEY_PREFIX) && entry.value().isPresent();
    }

    @Override
    public void readFailed(PortException error) {
        engines.readFailed(error);
    }
}
