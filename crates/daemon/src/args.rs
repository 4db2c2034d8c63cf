//! Command-line arguments of the daemon.

use argh::FromArgs;

/// Accept requests, record them and place work, together with the cell's other daemons.
#[derive(Debug, FromArgs)]
#[argh(
    name = "bronzeraild",
    example = "{command_name} /etc/bronzerail/daemon.jsonc",
    example = "{command_name} --check /etc/bronzerail/daemon.jsonc",
    error_code(2, "the settings file is invalid; each error is shown with its line and column")
)]
pub struct Args {
    /// path of the settings file, JSON with comments
    #[argh(positional)]
    pub settings: String,

    /// check the settings file and exit
    #[argh(switch)]
    pub check: bool,

    /// log format on stderr: json or text
    #[argh(option, default = "String::from(\"json\")")]
    pub log: String,

    /// lowest level that is logged: error, warning, info or debug
    #[argh(option, default = "String::from(\"info\")")]
    pub level: String,
}
