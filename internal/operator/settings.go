// Package operator implements fescuectl, with which operators check and publish the sheet and read
// the state of the fleet. It sends no orders to engines; the control processes apply the accepted
// sheet to them.
package operator

import (
	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/node"
	"fescuestand/internal/settings"
)

// Settings are the settings of fescuectl.
type Settings struct {
	Deployment string        `json:"deployment"`
	Operator   string        `json:"operator"` // recorded with each publish
	Log        driver.Target `json:"log"`
	Streams    node.Streams  `json:"streams"`
	VMList     driver.Target `json:"vm_list"`
}

// LoadSettings reads and validates the settings file.
func LoadSettings(file string) (*Settings, error) {
	s := &Settings{Streams: node.Defaults().Streams}
	if err := settings.Load(file, s); err != nil {
		return nil, err
	}
	return s, nil
}

// Validate implements settings.Validator.
func (s *Settings) Validate(p *settings.Problems) {
	if s.Deployment == "" {
		p.Add("deployment", code.MissingSetting, "is required")
	}
	node.CheckTarget(p, "log", s.Log, driver.Logs.Names())
	node.CheckTarget(p, "vm_list", s.VMList, driver.VMLists.Names())
}

// platform opens the log service and the VM list.
func (s *Settings) platform() (driver.Log, driver.VMList, error) {
	n := node.Settings{Log: s.Log, VMList: s.VMList}
	lg, err := n.OpenLog()
	if err != nil {
		return nil, nil, err
	}
	list, err := n.OpenVMList()
	return lg, list, err
}
