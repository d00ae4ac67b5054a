/**
 * Counts the requests that started, by tenant and window, and reports them to the control plane.
 */
package elmsail.gateway.usage;
