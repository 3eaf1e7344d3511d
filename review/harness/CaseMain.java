import java.nio.file.Path;

/** Runs one case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class CaseMain {
    interface Case {
        /** Returns whether the rule was broken. */
        boolean run(Deployment d, Record record, boolean trouble) throws Exception;
    }

    public static void main(String[] args) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        Record record = new Record(Path.of(args[1]));
        record.line("case %s, %s", args[0], trouble ? "with the disruption" : "without the disruption");
        try (Deployment d = new Deployment(record)) {
            Case c = (Case) Class.forName(args[0]).getDeclaredConstructor().newInstance();
            boolean broken = c.run(d, record, trouble);
            record.line(broken ? "the rule was broken" : "the rule held");
            exit = broken ? 1 : 0;
        } catch (Throwable e) {
            record.line("the case could not run: %s", e.toString());
            e.printStackTrace();
        }
        Runtime.getRuntime().exit(exit);
    }
}
