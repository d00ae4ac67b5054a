/**
 * The messages between the processes of the system: plain fields, encoded by Protostuff's runtime
 * schema under their tag numbers. A number is never changed nor given to another field: a new field
 * gets the next one. Voter sets: "head" are the control-plane nodes that vote on the configuration
 * (key "timetable") and on decommissioned nodes ("retire"); "shelf" are the stores that vote on
 * batch jobs (keys "lot/ID").
 */
package elmsail.rpc.messages;
