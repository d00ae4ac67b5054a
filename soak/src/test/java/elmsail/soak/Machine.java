package elmsail.soak;

/** A machine of the soak: its name, its zone, and whether it keeps jobs. */
record Machine(String name, String zone, boolean keepsJobs) {}
