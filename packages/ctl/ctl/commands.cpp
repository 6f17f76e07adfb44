#include "ctl/commands.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <ostream>
#include <span>

#include "base/name.h"
#include "contract/operatorsapi.h"
#include "ctl/contractcommands.h"
#include "ctl/exitcode.h"
#include "ctl/explain.h"
#include "ctl/reportcommands.h"
#include "settings/loader.h"
#include "settings/secretfile.h"

namespace Galenabarrow::Ctl
{

namespace
{

struct Command {
    std::string_view name;
    std::string_view arguments;
    std::size_t argumentCount;
    bool needsInstances;
    Result<void> (*execute)(const CommandContext &);
    std::string_view help;
};

Result<void> drain(const CommandContext &context)
{
    const std::string &server = context.arguments[0];
    if (!isName(server)) {
        return failure(ResultCode::UsageError, server + " is not the name of a server");
    }
    const std::string path = std::string(OperatorsApi::ServersPath) + '/' + server + '/' + OperatorsApi::DrainAction;
    return context.client.post(path).map([&](const std::string &) { context.out << "server " << server << " drains\n"; });
}

Result<void> check(const CommandContext &context)
{
    return Settings::loadSettings(context.arguments[0]).map([&](const Settings::DaemonSettings &settings) {
        context.out << context.arguments[0] << ": instance " << settings.instance.id << " of cluster " << settings.cluster.id
                    << ", no faults\n";
    });
}

Result<void> codes(const CommandContext &context)
{
    context.out << "code  exit  name and meaning\n";
    for (const ResultCodeRow &it : resultCodeTable()) {
        context.out << std::setw(4) << static_cast<unsigned>(it.code) << std::setw(6) << exitCode(it.code) << "  " << it.name << ": "
                    << it.meaning << '\n';
    }
    return {};
}

constexpr std::array<Command, 10> Commands = { {
    { "contract list", "", 0, true, contractList, "list all contracts with their versions" },
    { "contract show", "<customer>", 1, true, contractShow, "print a contract as JSON, in the form that put reads" },
    { "contract put", "<file>", 1, true, contractPut, "create or replace a contract" },
    { "contract withdraw", "<customer>", 1, true, contractWithdraw, "withdraw a contract; needs --expect" },
    { "status", "", 0, true, status, "show the state of each instance in --addresses" },
    { "drain", "<server>", 1, true, drain, "stop giving new work to a server" },
    { "burn", "", 0, true, burn, "show how fast each contract uses up its error budget" },
    { "check", "<settings file>", 1, false, check, "check a settings file of galenabarrowd" },
    { "explain", "<request id> <log>", 2, false, explain, "print what the log (- for standard input) says of a request" },
    { "codes", "", 0, false, codes, "list all result codes with their exit statuses" },
} };

std::string join(std::span<const std::string> words)
{
    std::string text;
    for (const std::string &it : words) {
        text += text.empty() ? it : ' ' + it;
    }
    return text;
}

std::size_t wordCount(std::string_view name)
{
    return static_cast<std::size_t>(std::count(name.begin(), name.end(), ' ')) + 1;
}

const Command *findCommand(const std::vector<std::string> &words)
{
    const auto matches = [&](const Command &it) {
        const std::size_t n = wordCount(it.name);
        return words.size() >= n && join(std::span(words).first(n)) == it.name;
    };
    const auto it = std::find_if(Commands.begin(), Commands.end(), matches);
    return it == Commands.end() ? nullptr : it;
}

Result<void> execute(const Invocation &invocation, std::ostream &out, std::ostream &err)
{
    const Command *command = findCommand(invocation.words);
    if (!command) {
        return failure(ResultCode::UsageError,
                       (invocation.words.empty() ? "no command is given" : '"' + join(invocation.words) + "\" is not a command")
                           + "; see --help");
    }
    const std::size_t nameWords = wordCount(command->name);
    if (invocation.words.size() != nameWords + command->argumentCount) {
        return failure(ResultCode::UsageError,
                       "usage: galenabarrowctl " + std::string(command->name) + ' ' + std::string(command->arguments));
    }
    ClientOptions options = invocation.client;
    if (command->needsInstances) {
        if (options.addresses.empty() || invocation.tokenFile.empty()) {
            return failure(ResultCode::UsageError, std::string(command->name) + " needs --addresses and --token_file");
        }
        Result<std::string> token = Settings::readSecretFile(invocation.tokenFile);
        if (!token) {
            return tl::make_unexpected(token.error());
        }
        options.token = std::move(*token);
    }
    const OperatorClient client(std::move(options));
    const std::vector<std::string> arguments(invocation.words.begin() + static_cast<std::ptrdiff_t>(nameWords), invocation.words.end());
    return command->execute(CommandContext { invocation, arguments, client, out, err });
}

}

std::string helpText()
{
    constexpr std::size_t CommandWidth = 30;
    std::string text = "galenabarrowctl: contracts and state of a galenabarrow cluster\n\n"
                       "usage: galenabarrowctl [flags] <command> [arguments]\n\ncommands:\n";
    for (const Command &it : Commands) {
        std::string usage = std::string(it.name) + (it.arguments.empty() ? "" : " ") + std::string(it.arguments);
        usage.resize(std::max(CommandWidth, usage.size() + 1), ' ');
        text += "  " + usage + std::string(it.help) + '\n';
    }
    text += R"(
flags:
  --addresses=<host:port>,...   operators' addresses of instances, tried in this order
  --token_file=<file>           file with the operators' bearer token
  --timeout_s=<seconds>         longest wait for a connection and for an answer (default 10)
  --rounds=<number>             how often all addresses are tried (default 5)
  --expect=<version>            version that a change replaces; 0 for a new customer.
                                put takes it from the file when the flag is missing
  --change_id=<id>              send a change again whose result is unknown
  --json                        burn: print JSON

A contract changes only if it still has the expected version, so that two operators cannot overwrite each other:

  galenabarrowctl contract show <customer> > contract.json
  (edit contract.json, which holds the version)
  galenabarrowctl contract put contract.json

Exit status: 0 after success, 1 for a flag that is not known, otherwise derived from the result code; "codes" lists them.
)";
    return text;
}

int run(const Invocation &invocation, std::ostream &out, std::ostream &err)
{
    const Result<void> result = execute(invocation, out, err);
    out.flush();
    if (result) {
        return 0;
    }
    const Error &error = result.error();
    err << "error " << static_cast<unsigned>(error.code) << ' ' << resultCodeName(error.code) << ": " << error.detail << '\n';
    return exitCode(error.code);
}

}
