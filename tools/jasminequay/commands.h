// The subcommands of the tool.
#pragma once

namespace jasminequay
{

/// Exit codes of every subcommand, as docs/OPERATIONS.md lists them.
enum class ExitCode : int {
    Success = 0,
    Mistakes = 1, ///< The input has mistakes.
    Usage = 2,
    Failure = 3, ///< The environment failed: a file, an address or a peer.
    Deadline = 4, ///< The drain deadline passed with flows left.
    Interrupted = 5, ///< A second signal ended a graceful leave.
};

ExitCode runServe(int argumentCount, char **arguments);
ExitCode runSteer(int argumentCount, char **arguments);
ExitCode runCheck(int argumentCount, char **arguments);
ExitCode runExplain(int argumentCount, char **arguments);
ExitCode runReport(int argumentCount, char **arguments);
ExitCode runExperimentCommand(int argumentCount, char **arguments);
ExitCode runMakeKeys(int argumentCount, char **arguments);

} // namespace jasminequay
