// Command standin plays one case of review/ against processes of the deploy file's run command.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	b := newBed(os.Args[2])
	defer func() {
		if r := recover(); r != nil {
			fmt.Fprintln(os.Stderr, "can't run:", r)
			b.close()
			os.Exit(2)
		}
	}()
	play, found := cases[os.Args[1]]
	if !found {
		panic("no such case")
	}
	broken, what := play(b, trouble)
	b.log("result: broken %t: %s", broken, what)
	b.close()
	fmt.Println(what)
	if broken {
		os.Exit(1)
	}
}

var cases = map[string]func(b *bed, trouble bool) (bool, string){}
