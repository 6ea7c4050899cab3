package clis

func (p *Program) addBench() {}
