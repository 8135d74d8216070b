import type { FileSchema, SectionSchema } from './parse-ini.js'
import { readMetadata } from './setting-types.js'
import { settingsGroups, settingsSections } from './settings-schema.js'

/**
 * Renders the reference of all sections and keys as Markdown.
 *
 * @example
 * await writeFile('docs/settings.md', settingsReference())
 */
export function settingsReference (): string {
  const schema: FileSchema = { sections: settingsSections, groups: settingsGroups }
  const parts = [
    '# Settings',
    'Each daemon has one INI file. A key that is not listed here, or that occurs twice in a section, is an error. ' +
      'The unit is part of the key. Values that contain `;` or `#` must be enclosed in double quotes.',
    ...Object.entries(schema.sections).map(([name, section]) => renderSection(name, section)),
    ...Object.entries(schema.groups).map(([name, section]) => renderSection(`${name}.<name>`, section))
  ]
  return parts.join('\n\n') + '\n'
}

function renderSection (name: string, section: SectionSchema): string {
  const rows = Object.entries(section.shape).map(([key, schema]) => {
    const { description, expected, defaultText } = readMetadata(schema)
    return `| \`${key}\` | ${description} | ${expected} | ${defaultText ?? 'required'} |`
  })
  return [`## \`[${name}]\``, '', '| key | meaning | value | default |', '|---|---|---|---|', ...rows].join('\n')
}
