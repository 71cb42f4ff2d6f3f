package hyssopturn.share;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.model.Address;
import hyssopturn.model.Bytes;
import hyssopturn.port.KeyedLog;
import hyssopturn.share.ShareMessage.Reply;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

class ReplyPartsTest {
    private static Reply reply(long sequence) {
        return reply(sequence, 30, 250);
    }

    private static Reply reply(long sequence, int count, int valueBytes) {
        Map<Integer, Address> holders = new HashMap<>();
        IntStream.range(0, 128).forEach(i -> holders.put(i, new Address("10.0.0." + i, 17_341)));
        List<ShareMessage.StreamRecord> records =
                IntStream.range(0, count)
                        .mapToObj(i -> entry(i, valueBytes))
                        .map(e -> new ShareMessage.StreamRecord(SharedStream.ENDPOINTS, e))
                        .toList();
        return new Reply(
                9, sequence, 0, 1, 1, List.of(), records, Optional.empty(), Holders.rows(holders));
    }

    private static KeyedLog.Entry entry(int index, int valueBytes) {
        Bytes value = Bytes.utf8("v".repeat(valueBytes));
        return new KeyedLog.Entry("e" + index, Optional.of(value), index);
    }

    /** Datagrams come in any order, repeated, and mixed with those of an earlier reply. */
    @Property(tries = 100)
    void partsInAnyOrderMakeTheWhole(@ForAll Random random) {
        List<Reply> parts = new ArrayList<>(ReplyParts.split(reply(2)));
        parts.addAll(List.copyOf(parts));
        Collections.shuffle(parts, random);
        ReplyParts.Assembly assembly = new ReplyParts.Assembly();
        assembly.add(ReplyParts.split(reply(1)).getLast());
        List<Reply> whole = parts.stream().flatMap(p -> assembly.add(p).stream()).toList();
        assertThat(whole.getFirst(), equalTo(reply(2)));
    }

    @Test
    void anIncompleteReplyIsNotUsed() {
        ReplyParts.Assembly assembly = new ReplyParts.Assembly();
        List<Reply> parts = ReplyParts.split(reply(1));
        boolean used = parts.stream().skip(1).anyMatch(part -> assembly.add(part).isPresent());
        assertThat(used, is(false));
    }

    /** Records that each need a part of their own make the greatest number of parts. */
    @Test
    void theLargestReplyHasNoMorePartsThanAReaderAccepts() {
        Reply reply = reply(1, 16, 525);
        int size = reply.records().stream().mapToInt(ReplyParts::size).sum();
        assertThat(size, lessThanOrEqualTo(ReplyParts.MAX_RECORD_BYTES));
        assertThat(ReplyParts.split(reply).size(), lessThanOrEqualTo(ShareMessage.MAX_PARTS));
    }
}
