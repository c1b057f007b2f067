// Command scenes plays the scripted cases of the second review: each starts entry processes with the command
// of the deploy file, and brings about one disruption. It exits with 1 if a rule was broken, with 0 if it
// held, and with 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
)

// scene is one case. It returns true if the rule was broken. trouble is false to leave out the disruption.
type scene func(w *world, trouble bool) (broken bool, err error)

var scenes = map[string]scene{
	"trailers": playTrailers,
	"heads":    playHeads,
	"door":     playDoor,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: scenes CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(scenes[os.Args[1]], os.Args[2]))
}

func play(s scene, recordFile string) int {
	if s == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	w, err := newWorld(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	broken, err := s(w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		var unplayed caseError
		w.say("the case could not run: %v (%t)", err, errors.As(err, &unplayed))
		return 2
	case broken:
		w.say("the rule was broken")
		return 1
	}
	w.say("the rule held")
	return 0
}
