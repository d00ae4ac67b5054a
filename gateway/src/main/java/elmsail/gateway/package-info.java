/** The data plane: forwards client requests and streams to servers, and serves batch calls. */
package elmsail.gateway;
