// SPDX-License-Identifier: MIT
// robinrail: the command-line tool of operators.
#include "arguments.h"
#include "operator_commands.h"

#include <sodium.h>

namespace {

constexpr const char *Usage = R"(robinrail: operates a robinrail deployment.

Usage:
  robinrail keygen --out=FILE [--json]
  robinrail bundle check FILE [--config=FILE] [--json]
  robinrail bundle sign FILE --base=N --out=SIGNED [--config=FILE] [--json]
  robinrail bundle propose SIGNED [--config=FILE] [--json]
  robinrail bundle approve CHANGE [--config=FILE] [--json]
  robinrail bundle pending [--config=FILE] [--json]
  robinrail bundle show [--at=VERSION] [--config=FILE] [--json]
  robinrail bundle diff FROM TO [--config=FILE] [--json]
  robinrail bundle history [--config=FILE] [--json]
  robinrail rollout watch [--timeout=SECONDS] [--config=FILE] [--json]
  robinrail rollout (continue | stop) VERSION [--config=FILE] [--json]
  robinrail operator set NAME KEY ROLE [--revoked] [--config=FILE] [--json]
  robinrail operator list [--config=FILE] [--json]
  robinrail status [--config=FILE] [--json]
  robinrail targets [--config=FILE] [--json]
  robinrail load [BALANCER...] [--over=SECONDS] [--config=FILE] [--json]
  robinrail flows explain ID [--config=FILE] [--json]
  robinrail audit tail [--after=NUMBER] [--config=FILE] [--json]
  robinrail audit verify [--config=FILE] [--json]
  robinrail drain (vm | target) ID [--config=FILE] [--json]
  robinrail watch [--timeout=SECONDS] [--config=FILE] [--json]
  robinrail standin (target | caller | fabric | verify) OPTIONS
  robinrail (-h | --help)
  robinrail --version

Options:
  --config=FILE      Addresses, token, operator and key file; JSON [default: robinrail.json].
  --out=FILE         Where to write the key or the signed change.
  --base=N           Version on which the bundle is based; 0 for the first.
  --at=VERSION       Show this version instead of the newest.
  --after=NUMBER     Only audit records after this number.
  --timeout=SECONDS  How long to watch [default: 30].
  --over=SECONDS     Count new flows for this time; 0: since the balancers' starts [default: 2].
  --revoked          Revoke the key of the operator.
  --json             Print JSON.
  -h --help          Show this text.
  --version          Show the version.

Exit codes: 0 done, 1 a check or verification failed, 2 bad input, 3 no answer, 4 refused.
)";

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = Robinrail::parseArguments(Usage, argc, argv);
    if (sodium_init() < 0) {
        return Robinrail::ExitFailed;
    }
    return Robinrail::runCommand(arguments);
}
