package elmsail.timetable;

/** One server as the carrier lists it. */
public record ServerEntry(String id, String service, String address, String zone, int berths, boolean closing,
    long coldLeftMs) {
}
