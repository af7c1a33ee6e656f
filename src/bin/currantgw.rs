//! The `currantgw` command; calls the command line of the library.

#[async_std::main]
async fn main() -> eyre::Result<()> {
    currantgw::cli::run(argh::from_env()).await
}
