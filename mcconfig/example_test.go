package mcconfig_test

import (
	"context"
	"fmt"

	"marigoldcroft"
	"marigoldcroft/mcconfig"
	"marigoldcroft/mcstore"
)

// The package can be used without the daemon: a follower on any object store loads the
// configuration, and an editor changes it.
func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := &mcstore.Memory{}
	follower := &mcconfig.Follower{Store: store, Deployment: "example"}
	go func() { _ = follower.Run(ctx) }()
	<-follower.Ready()

	changes, err := mcconfig.DecodeFile("caption.yaml", []byte(`
kind: template
name: caption
model: photo-large
urgency: interactive
repeat: idempotent
deadlineMs: 8000
`))
	if err != nil {
		fmt.Println(err)
		return
	}
	editor := &mcconfig.Editor{Store: store, Follower: follower}
	result, err := editor.Apply(ctx, changes, false)
	if err != nil {
		fmt.Println(err)
		return
	}
	var source marigoldcroft.ConfigSource = follower
	template, _ := source.Current().Template("caption")
	fmt.Println(result.Outcomes[0].Action, "at revision", result.Revision, "with deadline", template.Deadline())
	// Output: created at revision 1 with deadline 8s
}
