/**
 * The control plane: the routing configuration, the list of model servers, and who votes on both
 * and on the stores' batch jobs. {@link elmsail.controlplane.ControlPlaneServer} starts a node and
 * {@link elmsail.controlplane.StoreServer} a store; everything else is package-private and runs on
 * the process's event loop.
 */
package elmsail.controlplane;
