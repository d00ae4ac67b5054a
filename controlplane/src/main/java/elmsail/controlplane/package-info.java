/**
 * The control plane: the configuration, who is there, the servers' list, and what the stores keep.
 */
package elmsail.controlplane;
