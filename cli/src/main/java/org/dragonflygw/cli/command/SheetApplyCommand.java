package org.dragonflygw.cli.command;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.UUID;
import joptsimple.OptionParser;
import org.dragonflygw.cli.Command;
import org.dragonflygw.cli.ExitCode;
import org.dragonflygw.cli.Invocation;
import org.dragonflygw.cli.OperatorReply;
import org.dragonflygw.cli.Output;
import org.dragonflygw.cli.OutputFormat;
import org.dragonflygw.core.inspect.SheetApplyView;
import org.dragonflygw.core.inspect.SheetView;

/**
 * Applies a sheet if no other one was accepted since the operator looked. The call carries a token, so that asking a
 * second daemon after a lost answer applies the sheet once.
 */
public final class SheetApplyCommand implements Command {
    private static final int CONFLICT_STATUS = 409;

    @Override
    public String name() {
        return "sheet apply";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "applies a sheet, unless another one was accepted since version N";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts("expected", "version that the sheet replaces; the one in force if not given")
                .withRequiredArg()
                .describedAs("N");
        parser.accepts("operator", "who applies it, for the other operators")
                .withRequiredArg()
                .describedAs("NAME");
        parser.accepts("token", "identity of this apply; give the same one to try the same apply again")
                .withRequiredArg()
                .describedAs("TOKEN");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        byte[] content = SheetFile.read(invocation);
        String token =
                invocation.option("token").orElseGet(() -> UUID.randomUUID().toString());
        String operator = invocation.option("operator").orElse("unnamed");
        String expected = invocation.option("expected").orElseGet(() -> currentVersion(invocation));
        OperatorReply reply = invocation.fleet().postToAny(path(expected, token, operator), content);
        if (SheetReplies.isInvalidSheet(reply)) {
            return SheetReplies.printProblems(invocation, reply);
        }
        if (reply.isError() && reply.status() != CONFLICT_STATUS) {
            invocation.output().note("to try the same apply again: --expected " + expected + " --token " + token);
        }
        SheetApplyView result = reply.status() == CONFLICT_STATUS
                ? invocation.fleet().decodeIgnoringStatus(reply, SheetApplyView.class)
                : invocation.fleet().decode(reply, SheetApplyView.class);
        print(invocation.output(), result);
        return result.accepted() ? ExitCode.OK : ExitCode.CONFLICT;
    }

    private static String currentVersion(Invocation invocation) {
        SheetView sheet = invocation.fleet().getFromAny("/v1/sheet", SheetView.class);
        return Long.toString(sheet.number());
    }

    private static String path(String expected, String token, String operator) {
        return "/v1/sheet/apply?expected=" + encode(expected) + "&token=" + encode(token) + "&operator="
                + encode(operator);
    }

    private static String encode(String value) {
        return URLEncoder.encode(value, StandardCharsets.UTF_8);
    }

    private static void print(Output output, SheetApplyView result) {
        if (output.format() == OutputFormat.JSON) {
            output.json(result);
        } else if (result.accepted()) {
            output.line("accepted as version " + result.number() + ", digest " + result.digest());
        } else {
            output.line("not applied: " + result.operator() + " applied version " + result.number() + " first");
            result.changes().forEach(output::line);
        }
    }
}
