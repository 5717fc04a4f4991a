import { Command } from "commander";
import { addCustomerCommands } from "./commands/addCustomerCommands.js";
import { addDocumentCommands } from "./commands/addDocumentCommands.js";
import { addExplainCommand } from "./commands/addExplainCommand.js";
import { addInspectionCommands } from "./commands/addInspectionCommands.js";
import { ExitCode } from "./ExitCode.js";

const program = new Command("balsamward")
    .description("Drives balsamward, for operators and callers.")
    .option("--settings <file>", "INI file with addresses and tokens (default: balsamward.ini)")
    .option("--json", "print the result as JSON")
    .addHelpText(
        "after",
        "\nExit codes:\n  0  done\n  1  the work ran and failed\n  2  bad input\n"
            + "  3  refused, did not run\n  4  outcome unknown\n"
            + "\nExample:\n  balsamward --settings operators.ini try examples/boliche-nordeste.ini",
    );
addDocumentCommands(program);
addCustomerCommands(program);
addInspectionCommands(program);
addExplainCommand(program);
for (const command of [program, ...program.commands]) {
    command.exitOverride();
}
try {
    await program.parseAsync();
}
catch (error) {
    const { exitCode } = error as { exitCode?: number };
    process.exitCode = exitCode === 0 ? ExitCode.Success : ExitCode.BadInput;
    if (exitCode === undefined) {
        throw error;
    }
}
