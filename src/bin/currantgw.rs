//! The `currantgw` command line (subcommands come with the entry instance).

fn main() {}
