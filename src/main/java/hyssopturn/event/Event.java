package hyssopturn.event;

import hyssopturn.model.InstanceId;
import hyssopturn.model.RequestId;

import java.util.Optional;

/**
 * Something that happened at a node.
 *
 * @param stamp when, in an order that respects cause and effect
 * @param node where
 * @param request request that it belongs to, if any
 * @param detail what
 */
public record Event(Stamp stamp, InstanceId node, Optional<RequestId> request, Detail detail) {}
