/**
 * The settings of an entry instance: INI text, validated against schemas.
 *
 * @module
 */
export * from "./check_settings_file.ts";
export { type Environment, settingVariable } from "./environment_settings.ts";
export * from "./read_settings.ts";
export * from "./settings.ts";
export { formatSettingsFaults, type SettingsFault } from "./settings_fault.ts";
export { type IniSection, parseIni } from "./ini_section.ts";
export { readSection } from "./read_section.ts";
export { unknownSection, unreadableSettings } from "./settings_fault.ts";
export {
  choice,
  nameSchema,
  portSchema,
  type SocketAddress,
  socketAddressSchema,
  textSchema,
  tokenSchema,
  urlSchema,
  wholeNumber,
} from "./values.ts";
export { describeError, readTextFile } from "./read_text_file.ts";
