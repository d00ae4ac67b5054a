/**
 * Named records in a folder that outlive the process and the power. Each write makes one file of a
 * new version, written aside, synced and renamed; files are merged as they become many. A damaged
 * file is reported by its name and never read around.
 */
package elmsail.storage;
