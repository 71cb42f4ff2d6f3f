package hyssopturn.admit;

import hyssopturn.model.AccountId;

import java.util.Comparator;
import java.util.TreeSet;

/** Waiting requests of one account in one class, and the account's recent served cost. */
final class AccountQueue {
    static final Comparator<AccountQueue> BY_TAG =
            Comparator.<AccountQueue>comparingDouble(a -> a.tag).thenComparing(a -> a.account);

    final AccountId account;
    final TreeSet<Ticket> waiting = new TreeSet<>(Ticket.BY_LATEST_START);
    final DecayingSum servedCost;

    /** Start tag of fair queueing: grows by the cost of each request that starts. */
    double tag;

    AccountQueue(AccountId account, double tag, long halfLifeNanos) {
        this.account = account;
        this.tag = tag;
        servedCost = new DecayingSum(halfLifeNanos);
    }
}
