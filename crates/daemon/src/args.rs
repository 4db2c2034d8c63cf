//! The daemon's command line.

use argh::FromArgs;

/// Take requests, account for them and place work, together with the cell's other daemons.
#[derive(Debug, FromArgs)]
#[argh(
    name = "bronzeraild",
    example = "{command_name} /etc/bronzerail/daemon.jsonc",
    example = "{command_name} --check /etc/bronzerail/daemon.jsonc",
    error_code(2, "the settings file has faults; each is shown with its line and column")
)]
pub struct Args {
    /// the settings file, JSON with comments
    #[argh(positional)]
    pub settings: String,

    /// check the settings file and exit
    #[argh(switch)]
    pub check: bool,

    /// form of the log on stderr: json or text
    #[argh(option, default = "String::from(\"json\")")]
    pub log: String,

    /// least level that is logged: error, warning, info or debug
    #[argh(option, default = "String::from(\"info\")")]
    pub level: String,
}
