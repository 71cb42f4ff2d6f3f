/** Value types and typed outcomes shared by all packages. */
package hyssopturn.model;
