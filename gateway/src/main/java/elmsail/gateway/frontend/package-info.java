/**
 * The connections of clients: bytes in, requests out, and answers written back in the order of
 * their requests. Limits on heads, bodies and idle time are kept here.
 */
package elmsail.gateway.frontend;
