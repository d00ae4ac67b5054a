/**
 * The configuration that operators send and the list of servers that the platform keeps: read
 * strictly, checked as a whole, and turned into values that do not change. A document that breaks a
 * rule is refused with the path of its first fault.
 */
package elmsail.config;
