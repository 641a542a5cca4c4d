// Command ryeford runs and operates a fleet of routers.
package main

import (
	"os"

	"github.com/ryeford/ryeford/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args, os.Stdout, os.Stderr))
}
