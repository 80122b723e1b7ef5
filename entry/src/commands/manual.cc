#include "manual.h"

namespace carawayvalve::entry::commands {

const char* Manual() {
  return R"(carawayvalve - serve callers, and change or inspect the configuration

Usage:
  carawayvalve serve --settings=FILE
  carawayvalve gateway [--settings=FILE]
  carawayvalve check (FILE | --settings=FILE) [--json]
  carawayvalve print-defaults
  carawayvalve diff FILE --store=HOST:PORT [--json]
  carawayvalve apply FILE --store=HOST:PORT [--expect-generation=N] [--json]
  carawayvalve key grant ACCOUNT --label=L --store=HOST:PORT [--json]
  carawayvalve key withdraw (--label=L [--account=NAME] | --sha256=D) --store=HOST:PORT [--json]
  carawayvalve status --operator=HOST:PORT [--json]
  carawayvalve dump --operator=HOST:PORT [--json]
  carawayvalve explain FILE --operator=HOST:PORT [--json]
  carawayvalve --help

COMMANDS

  serve           Runs an entry process until it gets SIGTERM or SIGINT; then
                  it finishes the requests in flight and ends.
  gateway         Runs an entry process that sends requests to backend servers
                  itself, on the users' platform. Without --settings it reads
                  the file that CARAWAYVALVE_CONFIG names.
  check           Checks whether a declaration could be applied, or whether
                  `serve` would accept the settings, and prints the JSON
                  path, the reason and the allowed values of each fault.
                  Makes no calls to other processes.
  print-defaults  Prints settings for `serve` with every default and comment.
  diff            Shows what a declaration would change: one line for each
                  JSON path, with the old and the new value. Changes nothing.
  apply           Shows the same, puts the declaration in force and prints its
                  generation. If another change was accepted in the meantime,
                  nothing is changed and the generation of that change is
                  printed. Applying the declaration that is in force
                  changes nothing.
  key grant       Generates a key for a client account and prints it once;
                  only its SHA-256 digest is stored. Doesn't conflict with
                  other changes. After exit status 5, withdraw the label
                  before you grant it again.
  key withdraw    Removes a key and returns once the change is accepted;
                  processes refuse the key within seconds. Requests in
                  flight finish. `status` of each entry process shows the
                  generation that it has. Doesn't conflict with other
                  changes.
  status          Shows the status of one entry process.
  dump            Prints the whole state of one entry process as JSON.
  explain         Shows where a gateway would send the request in the file
                  now, and why: what its account's rate limit and the load
                  allow, and each backend server with the terms of its cost.
                  Nothing is sent, and nothing in the gateway changes. Exit
                  status 1 if the request would be refused.

Options:
  --settings=FILE        Settings of the process, JSON with comments.
  --store=HOST:PORT      The platform's Object API.
  --operator=HOST:PORT   Operator address of an entry process; of a gateway
                         that of its metrics.
  --expect-generation=N  Apply only if generation N is in force.
  --label=L              Operators' name for the key, unique in its account.
  --account=NAME         The key's client account, if several accounts have a
                         key with the label.
  --sha256=D             Digest of the key, 64 lower-case hexadecimal digits.
  --json                 Print JSON: the result on standard output, a failure
                         on standard error.
  -h --help              Print this text.

EXIT STATUS

  0  done
  1  failed
  2  the command line is wrong
  3  the declaration or the settings have faults
  4  another change was accepted first; nothing was changed
  5  the store or the entry process did not answer; a change may have taken
     effect, and running the command again is safe

EXAMPLES

  carawayvalve print-defaults > entry.json
  carawayvalve check --settings=entry.json
  carawayvalve check declaration.json
  carawayvalve apply declaration.json --store=127.0.0.1:8000
  carawayvalve key grant guild-north --label=bench-3 --store=127.0.0.1:8000
  carawayvalve key withdraw --label=bench-3 --store=127.0.0.1:8000
  carawayvalve status --operator=127.0.0.1:7101
  carawayvalve explain request.json --operator=127.0.0.1:9464
)";
}

}  // namespace carawayvalve::entry::commands
