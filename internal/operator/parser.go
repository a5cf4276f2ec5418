package operator

import (
	"context"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

const longDescription = `Checks and publishes the sheet, and reads the state of the fleet.

Exit codes: 0 done, 1 failed, 2 bad command line, settings or sheet, 4 refused, 5 outcome not known yet.`

type subcommand struct {
	name, short, long string
	command           flags.Commander
}

// newParser returns the command line of fescuectl.
func newParser(ctx context.Context, out io.Writer) *flags.Parser {
	parser := flags.NewNamedParser("fescuectl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	shared := command{ctx: ctx, out: out}
	for _, e := range []subcommand{
		{"check", "Check a sheet without publishing it", "Reports everything that is wrong with FILE, each with its line. Needs no connection.", &checkCommand{command: shared}},
		{"publish", "Publish a sheet or a patch", "Publishes FILE in place of the accepted version, waits for the verdict and until it is in force on every live VM.", &publishCommand{command: shared}},
		{"status", "Show VMs, engines, roles, holders and log health", "Asks every VM of the VM list. A VM that does not answer is shown as such.", &statusCommand{command: shared}},
		{"burn", "Show how fast the error budgets are spent", "Asks every VM of the VM list and adds the answers up. A VM that does not answer is shown as a gap.", &burnCommand{command: shared}},
		{"explain", "Explain the outcome of a request", "Reads the logs of the VMs and prints the lines of the request, the logged state of the endpoints that it was sent to, and the line that decided its answer.", &explainCommand{out: out, in: os.Stdin}},
		{"codes", "Print the table of result codes", "The table of docs/RESULT-CODES.md.", &codesCommand{out: out}},
		{"version", "Print the version", "Prints the version.", &versionCommand{out: out}},
	} {
		if _, err := parser.AddCommand(e.name, e.short, e.long, e.command); err != nil {
			panic(err) // a command struct has invalid tags; any test that builds the parser finds it
		}
	}
	return parser
}
