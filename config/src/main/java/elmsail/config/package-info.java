/**
 * The routing configuration that operators send and the list of servers that the platform keeps:
 * parsed strictly, validated and turned into immutable values. An invalid document is rejected with
 * the path of its first invalid field. Only this package translates between the names in the JSON
 * documents and the terms that the code uses.
 */
package elmsail.config;
