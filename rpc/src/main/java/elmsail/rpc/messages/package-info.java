/**
 * What the system's own processes say to each other: plain fields, written by Protostuff's runtime
 * schema under their numbers. A number is never changed nor given to another field: a new field
 * gets the next one. Sets: "head" are the control-plane nodes that vote on the configuration (key
 * "timetable") and on what was asked of machines ("retire"); "shelf" are the stores (keys
 * "lot/ID").
 */
package elmsail.rpc.messages;
