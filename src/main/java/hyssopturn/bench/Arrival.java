package hyssopturn.bench;

import hyssopturn.filter.Exchange;
import hyssopturn.model.AccountId;
import hyssopturn.model.WorkClass;

/**
 * One request that a caller sends at a set time.
 *
 * @param atNanos when, from the start of the run
 * @param workClass its class
 * @param account its caller's account
 * @param call what is sent
 * @param tokens number of tokens that the answer has, 0 for a service
 * @param work cost at each stage, in units of one generated token, 0 for a service
 * @param flooding true if it is part of the flood
 * @param balance random number by which the balancer chooses the node
 */
record Arrival(
        long atNanos,
        WorkClass workClass,
        AccountId account,
        Exchange.Call call,
        int tokens,
        double work,
        boolean flooding,
        int balance) {}
