// Command fescuectl is the tool for operators: it checks and publishes the sheet and shows the state
// of the fleet.
package main

import (
	"os"

	_ "fescuestand/internal/driver/httpdriver" // registers the "http" drivers

	"fescuestand/internal/operator"
)

func main() { os.Exit(operator.Main(os.Args[1:])) }
