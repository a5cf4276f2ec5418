package operator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"fescuestand/internal/code"
)

// WriteCodes prints the table of result codes in the form that docs/RESULT-CODES.md contains. The
// page takes the table from this output, and a test compares the two.
func WriteCodes(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintln(&b, "| code | name | HTTP status | same request may succeed later | meaning |")
	fmt.Fprintln(&b, "|---:|---|---:|---|---|")
	all := code.All()
	for _, c := range slices.Sorted(maps.Keys(all)) {
		info := all[c]
		retryable := "no"
		if info.Again {
			retryable = "yes"
		}
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s |\n", int(c), info.Name, info.Status, retryable, info.Text)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
