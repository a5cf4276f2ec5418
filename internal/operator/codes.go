package operator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"fescuestand/internal/code"
)

// WriteCodes prints the table of result codes as docs/RESULT-CODES.md holds
// it, so that the page is written by the program and a test compares the two.
func WriteCodes(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintln(&b, "| code | name | HTTP status | same request may succeed later | meaning |")
	fmt.Fprintln(&b, "|---:|---|---:|---|---|")
	all := code.All()
	for _, c := range slices.Sorted(maps.Keys(all)) {
		i := all[c]
		again := "no"
		if i.Retryable {
			again = "yes"
		}
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s |\n", int(c), i.Name, i.Status, again, i.Text)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
