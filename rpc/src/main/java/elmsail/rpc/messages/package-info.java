/**
 * The messages between the tier's own processes: public fields, encoded by Protostuff's runtime
 * schema under their tags. A tag is never changed nor given to another field: a new field gets the
 * next one. Fields may be renamed, as names are not encoded.
 *
 * <p>There are two voter sets, whose names are part of stored records: "head" are the control-plane
 * nodes that vote on the configuration (key "timetable") and on decommissioning (key "retire");
 * "shelf" are the stores that vote on batch jobs (keys "lot/ID").
 */
package elmsail.rpc.messages;
