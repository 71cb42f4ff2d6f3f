package hyssopturn.member;

import hyssopturn.model.Bytes;

/**
 * A fact with its encoded form, which is forwarded unchanged so that no unknown field is lost.
 *
 * @param fact the fact
 * @param encoded its encoded form
 */
public record FactEntry(Fact fact, Bytes encoded) {}
