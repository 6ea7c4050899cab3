//go:build lean

package clis

// The program that instances start leaves out replay, plots and stand-ins,
// which only those who develop or try it use: with them it is half as large again.

func (p *Program) addBench() {}

func (p *Program) addStandins() {}
