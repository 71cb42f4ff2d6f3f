package hyssopturn.member;

import hyssopturn.model.Bytes;

/**
 * A fact with its encoded form, which is passed on unchanged so that no field is lost.
 *
 * @param fact the fact
 * @param encoded its encoded form
 */
public record Entry(Fact fact, Bytes encoded) {}
