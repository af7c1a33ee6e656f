//! The `currantgw` command: a thin shell over the library's command line.

#[async_std::main]
async fn main() -> eyre::Result<()> {
    currantgw::cli::run(argh::from_env()).await
}
