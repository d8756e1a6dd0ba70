package main

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/daemon"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/recovery"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/consensus/store"
	"github.com/cresspond/cresspond/process/daemonconfig"
)

// askLimit bounds the questions to one living daemon.
const askLimit = 10 * time.Second

// recoverGroup makes the next generation of a lost group in this daemon's empty data folder.
func recoverGroup(settings daemonconfig.Config, witnesses []string, survivor string) error {
	if !settings.Serves(daemonconfig.Control) {
		return eris.New("only a daemon that serves control can hold a group")
	}
	group, state := ident.GroupID(""), statemachine.New()
	if survivor != "" {
		old, err := store.Open(survivor, daemon.NewMember)
		if err != nil {
			return err
		}
		defer old.Close()
		if group, state, err = recovery.ReadSurvivor(old); err != nil {
			return err
		}
	}
	var heard []recovery.DaemonReport
	for _, address := range witnesses {
		ctx, cancel := context.WithTimeout(context.Background(), askLimit)
		witness, err := recovery.QueryDaemon(ctx, address)
		cancel()
		if err != nil {
			return err
		}
		heard = append(heard, witness)
	}
	plan, err := recovery.NewPlan(group, state, heard, time.Now())
	if err != nil {
		return err
	}
	opened, err := store.Open(settings.DataDir, daemon.NewMember)
	if err != nil {
		return err
	}
	defer opened.Close()
	if remembered, err := opened.Group(); err != nil || remembered != "" {
		return eris.Errorf("the data folder %s belongs to group %s already; recover into an empty one", settings.DataDir, remembered)
	}
	if err := recovery.WriteGroup(opened, plan, settings.Name, settings.AdvertisedPeerAddress()); err != nil {
		return err
	}
	fmt.Printf("group %s: spec epoch %d, closure epoch %d\n", plan.Group, plan.State.Version(), plan.State.Closures.Version)
	for _, epoch := range plan.LostVersions {
		fmt.Printf("nobody holds the bundle of epoch %d any more\n", epoch)
	}
	fmt.Println("start this daemon now; the other control machines join with empty data folders")
	return nil
}
