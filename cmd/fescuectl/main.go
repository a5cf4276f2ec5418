// Command fescuectl is for operators: it checks and publishes the sheet and
// reads the state of the fleet.
package main

import (
	"os"

	_ "fescuestand/internal/driver/httpdriver" // the "http" drivers

	"fescuestand/internal/operator"
)

func main() { os.Exit(operator.Main(os.Args[1:])) }
