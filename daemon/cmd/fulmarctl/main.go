// Command fulmarctl is the operators' tool.
package main

func main() {}
