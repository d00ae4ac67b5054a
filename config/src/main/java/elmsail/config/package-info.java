/**
 * The routing configuration that operators send and the list of servers that the platform keeps:
 * parsed strictly, validated and turned into immutable values. An invalid document is rejected with
 * the path of its first fault. JSON names are translated to the field's terms here and nowhere
 * else.
 */
package elmsail.config;
