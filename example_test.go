package knapweedhoist_test

import (
	"context"
	"fmt"
	"os"

	"knapweedhoist"
	"knapweedhoist/settings"
)

// An entry instance embedded in a program.
func Example() {
	cfg, err := settings.Load("hoist.yaml")
	if err != nil {
		fmt.Println("settings cannot be read")
		return
	}
	instance, err := knapweedhoist.New(cfg.Log.Logger(os.Stderr), cfg)
	if err != nil {
		fmt.Println(err)
		return
	}
	_ = instance.Run(context.Background())
	// Output: settings cannot be read
}
