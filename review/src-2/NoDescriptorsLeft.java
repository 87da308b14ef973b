import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reports are kept on the front's disk. Their clients come back for a page each. The front keeps a descriptor for
 * each file that was read, until none is left for new clients.
 */
final class NoDescriptorsLeft {
    private static final int SOCKETS = 256;
    private static final int SHEETS = 8;
    private static final int SEGMENTS = 245;
    /** service/LATER.md: up to 520 requests a second. */
    private static final double PER_SECOND = 500;

    public static void main(String[] args) {
        Rig.main(args[0], NoDescriptorsLeft::run);
    }

    static String sheet() {
        String row = "a".repeat(28) + "\t" + "b".repeat(28) + "\t" + "c".repeat(28) + "\n";
        return row.repeat(5_900 / row.length());
    }

    /** An engine whose reports have several pages. */
    static void serve(Rig.Engine engine, Rig.Command command, String sheet, int sheets) {
        boolean report = "report".equals(command.field("lane"));
        switch (command.words[0]) {
            case "fetch" -> command.link.answer(command.id(), "data", "sheets=" + (report ? sheets : 1)
                    + ",toil=20,room=10", sheet);
            case "more" -> command.link.answer(command.id(), "page", "sheet=" + command.words[2], sheet);
            default -> engine.serve(command);
        }
    }

    /** Settings with kept answers; returns the arguments that switch them on. */
    static String keepAnswers(Rig.Front front, String more) throws Exception {
        Path folder = Files.createDirectory(front.folder.resolve("spool"));
        Path key = Files.writeString(front.folder.resolve("key"), "a key for this run, 32 bytes long");
        Path settings = Files.writeString(front.folder.resolve("own.ini"),
                "[spool]\nfolder = " + folder + "\nkey_file = " + key + "\n" + more);
        return " --settings " + settings;
    }

    static Rig.Call page(Rig.Client client, String handle, int sheet) throws Exception {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("handle", handle);
        fields.put("customer", "acme");
        fields.put("sheet", Integer.toString(sheet));
        return client.call("page", fields, null, 5_000);
    }

    private static int descriptors(Rig.Front front) {
        String[] names = new File("/proc/" + front.process.pid() + "/fd").list();
        return names == null ? -1 : names.length;
    }

    private static boolean run() throws Exception {
        String sheet = sheet();
        String[] hosts = new String[3];
        for (int k = 0; k < hosts.length; k++) {
            Rig.Engine engine = new Rig.Engine("e" + k);
            engine.keep = false;
            engine.handler = command -> serve(engine, command, sheet, SHEETS);
            hosts[k] = Rig.host(engine.name, engine.port, "ready", 0);
        }
        Rig.JournalService journal =
                new Rig.JournalService(new ArrayList<>(List.of(Rig.event(1, true, hosts))));
        Rig.Front front = new Rig.Front("n0");
        front.configure(Rig.configuration(front, journal, 192, SOCKETS, Rig.settings(false, 3, "1,4",
                Rig.group("lookup", 1_000, 5_000, "repeatable", 0),
                Rig.group("report", 1_500, 15_000, "repeatable", 0))));
        front.arguments = keepAnswers(front, "segment = 256kB\ntenant_part = 100%\n");
        // The platform's limit: a process may hold so many descriptors.
        front.limit = SOCKETS;
        front.start();
        Rig.sleep(500);

        Rig.Client client = new Rig.Client(front.port);
        byte[] statement = "select * from sales_17.orders".getBytes();
        Path spool = front.folder.resolve("spool");
        List<String> handles = new ArrayList<>();
        double limit = Rig.now() + 60_000;
        // Segments and, for all but the last, their indexes.
        while (new File(spool.toString()).list().length < 2 * SEGMENTS && Rig.now() < limit) {
            List<Rig.Call> batch = new ArrayList<>();
            double begun = Rig.now();
            for (int k = 0; k < 4; k++) {
                Map<String, String> fields = Rig.fields(Rig.trace(), 15_000, 20);
                fields.put("pages", "1");
                batch.add(client.call("report", fields, statement, 15_000));
            }
            for (Rig.Call report : batch) {
                if (report.await(16_000) && report.fields.get("handle") != null) {
                    handles.add(report.fields.get("handle"));
                }
            }
            client.calls.clear();
            Rig.sleep(begun + batch.size() * 1_000 / PER_SECOND - Rig.now());
        }
        Rig.record(handles.size() + " reports are kept in " + new File(spool.toString()).list().length
                + " files; the front holds " + descriptors(front) + " descriptors of " + SOCKETS);
        if (new File(spool.toString()).list().length < 2 * SEGMENTS) {
            throw new IllegalStateException("too few files");
        }
        if (Rig.TROUBLE) {
            int served = 0;
            int other = 0;
            for (String handle : handles) {
                double begun = Rig.now();
                Rig.Call read = page(client, handle, 3);
                read.await(5_000);
                Rig.sleep(begun + 1_000 / PER_SECOND - Rig.now());
                served += "served".equals(read.outcome) ? 1 : 0;
                other += "served".equals(read.outcome) ? 0 : 1;
            }
            Rig.record("a page of each report was asked for: " + served + " served, " + other
                    + " not; the front holds " + descriptors(front) + " descriptors of " + SOCKETS);
        }
        // Ten new clients, each with one lookup; those that were there stay.
        List<Rig.Call> lookups = new ArrayList<>();
        for (int k = 0; k < 10; k++) {
            Rig.Client next = new Rig.Client(front.port);
            lookups.add(next.query("lookup", 5_000, 20, statement));
            Rig.sleep(100);
        }
        int lost = 0;
        for (Rig.Call lookup : lookups) {
            lookup.await(lookup.sentAt + lookup.patienceMs + Rig.LOST_AFTER_MS + Rig.SLACK_MS + 500 - Rig.now());
            lost += lookup.lost() ? 1 : 0;
            Rig.record("a new client's lookup " + lookup.trace + ": " + lookup.outcome + (lookup.outcome == null
                    ? "" : " after " + Math.round(lookup.answeredAt - lookup.sentAt) + " ms")
                    + (lookup.lost() ? ", lost" : lookup.excused ? ", excused" : ""));
        }
        Rig.record("lookups without an answer: " + lost);
        return lost == 0;
    }
}
