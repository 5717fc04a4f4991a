import { Command } from "commander";
import { addCustomerCommands } from "./commands/addCustomerCommands.js";
import { addDocumentCommands } from "./commands/addDocumentCommands.js";
import { addExplainCommand } from "./commands/addExplainCommand.js";
import { addInspectionCommands } from "./commands/addInspectionCommands.js";
import { ExitCode } from "./ExitCode.js";

const program = new Command("balsamward")
    .description("Command-line client of balsamward for operators and customers.")
    .option("--settings <file>", "INI file with daemon addresses and tokens (default: balsamward.ini)")
    .option("--json", "print the result as JSON")
    .addHelpText(
        "after",
        "\nExit codes:\n  0  success\n  1  the work ran and failed\n  2  bad input\n"
            + "  3  refused, nothing ran\n  4  outcome unknown\n"
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
