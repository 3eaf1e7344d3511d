package org.dragonflygw.cli.command;

import java.util.List;
import org.dragonflygw.cli.Columns;
import org.dragonflygw.cli.Command;
import org.dragonflygw.cli.ExitCode;
import org.dragonflygw.cli.Invocation;
import org.dragonflygw.core.inspect.EngineView;

/** {@code engines}: shows the endpoints as one daemon sees them. */
public final class EnginesCommand implements Command {
    @Override
    public String name() {
        return "engines";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "endpoints with state, steward, load and expected wait, as the first daemon sees them";
    }

    @Override
    public ExitCode run(Invocation invocation) {
        List<EngineView> engines = invocation.fleet().getListFromAny("/v1/engines", EngineView.class);
        invocation
                .output()
                .rows(
                        engines,
                        List.of(
                                Columns.text("ENDPOINT", EngineView::endpointId),
                                Columns.text("POOL", EngineView::pool),
                                Columns.text("ADDRESS", EngineView::address),
                                Columns.text("ZONE", EngineView::availabilityZone),
                                Columns.text("STATE", EngineView::state),
                                Columns.text("STEWARD", EngineView::steward),
                                Columns.number("IN FLIGHT", EngineView::inFlight),
                                Columns.number("QUEUED", EngineView::queued),
                                Columns.number("WAIT MS", EngineView::waitMillis),
                                Columns.number("AGE MS", EngineView::reportAgeMillis)));
        return ExitCode.OK;
    }
}
